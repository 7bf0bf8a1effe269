/** A base type that only its own constructor function produces, so that ids are not mixed up. */
export type Brand<Base, Name extends string> = Base & { readonly __brand: Name };
