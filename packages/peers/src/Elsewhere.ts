/** An answer that names the runner to ask instead. */
export interface Elsewhere {
    kind: "elsewhere";
    runner: string;
}
