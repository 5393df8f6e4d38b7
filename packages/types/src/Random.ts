/** Injectable seeded random numbers. */
export interface Random {
    /** Uniform in [0, 1). */
    nextUnit(): number;
    /** Uniform whole number in [0, bound). */
    nextInt(bound: number): number;
    /** 32 hex digits, unique with overwhelming probability. */
    nextId(): string;
    /** Creates an independent generator, so that one consumer's draws do not change another's. */
    fork(): Random;
}
