/** An HTTP answer with a JSON body. */
export interface JsonAnswer {
  readonly status: number;
  readonly body: unknown;
}

/** Small HTTP client for the interfaces of a local fleet. */
export class HttpJson {
  async get(address: string, path: string): Promise<JsonAnswer> {
    return this.read(await fetch(`http://${address}${path}`));
  }

  async post(address: string, path: string, body: unknown): Promise<JsonAnswer> {
    const headers = { 'content-type': 'application/json' };
    const request = { method: 'POST', headers, body: JSON.stringify(body) };
    return this.read(await fetch(`http://${address}${path}`, request));
  }

  private async read(response: Response): Promise<JsonAnswer> {
    const text = await response.text();
    const body: unknown = text.startsWith('{') || text.startsWith('[') ? JSON.parse(text) : text;
    return { status: response.status, body };
  }
}
