import type { AccountAssignment } from './accountAssignment.js';
import type { GroupAssignment } from './groupAssignment.js';

/** Who holds a resource. */
export type Assignment = GroupAssignment | AccountAssignment;
