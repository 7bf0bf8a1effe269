import type { AccountAssignment } from './accountAssignment.js';
import type { GroupAssignment } from './groupAssignment.js';
import type { ReaderAssignment } from './readerAssignment.js';

/** Who holds a resource that moves by draining it. */
export type DrainableAssignment = GroupAssignment | AccountAssignment;

/** Who holds a resource. */
export type Assignment = DrainableAssignment | ReaderAssignment;
