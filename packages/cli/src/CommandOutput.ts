/** Result of a command: `json` is printed with `--json`, otherwise `lines`. */
export interface CommandOutput {
    exitCode: number;
    json: unknown;
    lines: string[];
}
