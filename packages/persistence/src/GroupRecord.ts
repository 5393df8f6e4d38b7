/** One line of a step's file: a stored group, or the numbers of dropped groups. */
export type GroupRecord =
    | { kind: "group"; group: number; fencing: number; body: string; }
    | { kind: "drop"; groups: number[]; };
