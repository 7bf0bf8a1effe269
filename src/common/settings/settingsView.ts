/** Typed access to a settings document that has not been validated. */
export class SettingsView {
  constructor(private readonly document: unknown) {}

  /** Returns the value at a dotted key; undefined if there is none. */
  get(key: string): unknown {
    let value = this.document;
    for (const part of key.split('.')) {
      value = Object(value) === value ? getOwn(value as object, part) : undefined;
    }
    return value;
  }

  /** Returns the string at a dotted key; undefined if there is no string. */
  getText(key: string): string | undefined {
    const value = this.get(key);
    return typeof value === 'string' ? value : undefined;
  }

  /** Returns the array at a dotted key; empty if there is none. */
  getArray(key: string): readonly unknown[] {
    const value = this.get(key);
    return Array.isArray(value) ? value : [];
  }

  /** Returns whether there is a value at a dotted key. */
  has(key: string): boolean {
    return this.get(key) !== undefined;
  }
}

function getOwn(value: object, key: string): unknown {
  return Object.hasOwn(value, key) ? (value as Record<string, unknown>)[key] : undefined;
}
