import type { LocalityMetrics } from '../../common/metrics/index.js';
import type { RandomSource } from '../../common/random.js';

/** Services for the choice between the own and other failure domains. */
export interface LocalityContext {
  /** Cost of serving a request in another failure domain, as a wait in milliseconds. */
  readonly costMs: number;
  readonly random: RandomSource;
  readonly metrics: LocalityMetrics;
}
