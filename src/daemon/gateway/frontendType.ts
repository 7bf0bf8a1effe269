/** Type bytes of frontend messages, which callers send. */
export enum FrontendType {
  Bind = 0x42,
  Close = 0x43,
  Describe = 0x44,
  Execute = 0x45,
  FunctionCall = 0x46,
  Flush = 0x48,
  Parse = 0x50,
  Query = 0x51,
  Sync = 0x53,
  Terminate = 0x58,
  CopyDone = 0x63,
  CopyData = 0x64,
  CopyFail = 0x66,
  Password = 0x70,
}

const FRONTEND_TYPES: ReadonlyMap<number, FrontendType> = new Map(
  Object.values(FrontendType)
    .filter((value) => typeof value !== 'string')
    .map((type) => [type, type]),
);

/** Returns the type of a message; undefined if it is unknown. */
export function getFrontendType(message: Buffer): FrontendType | undefined {
  return FRONTEND_TYPES.get(message.readUInt8(0));
}
