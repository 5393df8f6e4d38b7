/** An answer that redirects the query to another runner. */
export interface RunnerRedirect {
    kind: "elsewhere";
    runner: string;
}
