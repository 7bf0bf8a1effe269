import { createHmac, timingSafeEqual } from 'node:crypto';
import { TokenSigner } from '../decisions/sessions/index.js';

const CODE_BYTES = 16;

/** Signs session tokens with HMAC-SHA-256 under the fleet's key. */
export class HmacSigner extends TokenSigner {
  constructor(private readonly key: string) {
    super();
  }

  override sign(text: string): string {
    return this.compute(text).toString('base64url');
  }

  override isSigned(text: string, code: string): boolean {
    const signature = Buffer.from(code, 'base64url');
    return signature.length === CODE_BYTES && timingSafeEqual(signature, this.compute(text));
  }

  private compute(text: string): Buffer {
    return createHmac('sha256', this.key).update(text).digest().subarray(0, CODE_BYTES);
  }
}
