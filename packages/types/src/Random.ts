/** Seeded randomness, as an argument. */
export interface Random {
    /** Uniform in [0, 1). */
    nextUnit(): number;
    /** Uniform whole number in [0, bound). */
    nextInt(bound: number): number;
    /** 32 hex digits, unique with overwhelming probability. */
    nextId(): string;
    /** A generator of its own, so that one consumer's draws do not shift another's. */
    fork(): Random;
}
