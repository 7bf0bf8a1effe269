const CONNECTION_PARAMETERS: ReadonlySet<string> = new Set([
  'user',
  'database',
  'replication',
  'options',
]);
const OPTION_PATTERN = /(?:^|\s)(?:-c\s*|--)([A-Za-z_][\w.]*)=((?:\\.|\S)*)/g;

/** Returns the settings of a StartupMessage, including those in its `options` (`-c name=value`). */
export function readStartupParameters(
  parameters: Readonly<Record<string, string>>,
): ReadonlyMap<string, string> {
  const settings = new Map<string, string>();
  for (const [name, value] of Object.entries(parameters)) {
    if (!CONNECTION_PARAMETERS.has(name)) {
      settings.set(name, value);
    }
  }
  for (const match of (parameters.options ?? '').matchAll(OPTION_PATTERN)) {
    settings.set(match[1] ?? '', (match[2] ?? '').replaceAll(/\\(.)/g, '$1'));
  }
  return settings;
}
