/** Problem in a settings file. */
export interface SettingsProblem {
  /** Line of the key, or of the table that lacks it; absent if unknown. */
  readonly line?: number;
  /** The key with its tables, such as `mesh.listen`; empty for the file as a whole. */
  readonly key: string;
  /** Description of the expected value. */
  readonly expected: string;
}

/** Formats a problem as `FILE:LINE: KEY: EXPECTED`. */
export function formatSettingsProblem(file: string, problem: SettingsProblem): string {
  const location = problem.line === undefined ? file : `${file}:${problem.line}`;
  return [location, problem.key, problem.expected].filter((part) => part !== '').join(': ');
}
