/** Fields of one event; keys in camelCase with unit suffixes. Undefined fields are left out. */
export type LogFields = Record<string, string | number | boolean | undefined>;
