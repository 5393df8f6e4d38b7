/** Fields of one log event; keys in camelCase with unit suffixes. Undefined fields are omitted. */
export type LogFields = Record<string, string | number | boolean | undefined>;
