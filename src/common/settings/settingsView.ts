/** A settings document of which nothing is known yet. */
export class SettingsView {
  constructor(private readonly document: unknown) {}

  /** The value at a dotted key; undefined when there is none. */
  get(key: string): unknown {
    let value = this.document;
    for (const part of key.split('.')) {
      value = Object(value) === value ? getOwn(value as object, part) : undefined;
    }
    return value;
  }

  /** The text at a dotted key; undefined when there is no text. */
  getText(key: string): string | undefined {
    const value = this.get(key);
    return typeof value === 'string' ? value : undefined;
  }

  /** The array at a dotted key; empty when there is none. */
  getArray(key: string): readonly unknown[] {
    const value = this.get(key);
    return Array.isArray(value) ? value : [];
  }

  /** Whether there is any value at a dotted key. */
  has(key: string): boolean {
    return this.get(key) !== undefined;
  }
}

function getOwn(value: object, key: string): unknown {
  return Object.hasOwn(value, key) ? (value as Record<string, unknown>)[key] : undefined;
}
