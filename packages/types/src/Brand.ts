declare const brand: unique symbol;

/** A primitive that carries its role in the type, so that two ids of different roles cannot be swapped. */
export type Brand<T, Name extends string> = T & { readonly [brand]: Name; };
