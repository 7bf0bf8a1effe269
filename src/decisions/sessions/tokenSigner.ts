/** Authenticates session tokens with the fleet's key. */
export abstract class TokenSigner {
  /** Returns the authentication code of a text, in base64url. */
  abstract sign(text: string): string;
  /** Checks an authentication code by a comparison in constant time. */
  abstract isSigned(text: string, code: string): boolean;
}
