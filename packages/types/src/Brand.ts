declare const brand: unique symbol;

/** A primitive whose type carries its role, so that ids of different roles cannot be confused. */
export type Brand<T, Name extends string> = T & { readonly [brand]: Name; };
