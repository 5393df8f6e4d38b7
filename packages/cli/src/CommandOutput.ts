/** What a command has to say: `json` with `--json`, else `lines`. */
export interface CommandOutput {
    exitCode: number;
    json: unknown;
    lines: string[];
}
