const UNITS_MS: Readonly<Record<string, number>> = { ms: 1, s: 1000, min: 60_000, h: 3_600_000 };

/** Reads a duration setting such as `250`, `'250ms'` or `'2s'`; undefined where it is malformed. */
export function tryReadDurationMs(text: string): number | undefined {
  const match = /^(\d+(?:\.\d+)?)\s*(ms|s|min|h)?$/.exec(text.trim());
  const unit = UNITS_MS[match?.[2] ?? 'ms'];
  return match === null || unit === undefined ? undefined : Number(match[1]) * unit;
}
