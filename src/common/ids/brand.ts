/** Nominal type over a base type, so that the compiler rejects ids of one kind used as another. */
export type Brand<Base, Name extends string> = Base & { readonly __brand: Name };
