/** A value of a column; SQL's null is `undefined`. */
export type SqlValue = string | number | boolean | undefined;

/** The values of a row in the order of its table's columns. */
export type Row = readonly SqlValue[];
