/** An answer that names the runner to ask instead. */
export interface RunnerRedirect {
    kind: "elsewhere";
    runner: string;
}
