/** One line of a step's file: a group kept, or groups dropped. */
export type GroupRecord =
    | { kind: "group"; group: number; fencing: number; body: string; }
    | { kind: "drop"; groups: number[]; };
