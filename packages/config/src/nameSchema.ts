import { z } from "zod";

/** Names appear in object keys, URL paths and log lines, so they are limited to safe characters. */
export const nameSchema = z.string().regex(
    /^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/u,
    "Expected a name: a letter or digit, then at most 63 letters, digits, dots, dashes or underscores.",
);
