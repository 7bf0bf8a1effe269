import type { Term } from '../../src/common/ids/index.js';

/** The platform's order to make an instance the primary of a term. */
export interface PromotionOrder {
  readonly group: string;
  readonly instance: string;
  readonly term: Term;
}
