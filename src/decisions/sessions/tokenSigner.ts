/** Authenticates session tokens with the fleet's key. */
export abstract class TokenSigner {
  /** The authentication code of a text, in base64url. */
  abstract sign(text: string): string;
  /** Compares in constant time. */
  abstract isSigned(text: string, code: string): boolean;
}
