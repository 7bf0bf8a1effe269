import type { AccountAssignment } from './accountAssignment.js';
import type { GroupAssignment } from './groupAssignment.js';
import type { ReaderAssignment } from './readerAssignment.js';

/** Assignment of a resource whose holder drains it before it moves. */
export type DrainableAssignment = GroupAssignment | AccountAssignment;

/** Assignment of a resource to a holder. */
export type Assignment = DrainableAssignment | ReaderAssignment;
