import { resultCodes } from "@auburnarch/errors/resultCodes";
import type { CliIo } from "./CliIo.js";
import type { OperatorClient } from "./OperatorClient.js";
import { OperatorFailure } from "./OperatorFailure.js";
import { readInput } from "./readInput.js";

const defaultEntryUrl = "http://127.0.0.1:7400";

/** The flags that select the entry and the operator token. */
interface ConnectArgs {
    "entry"?: string | undefined;
    "token-file"?: string | undefined;
}

function badEntry(url: string): OperatorFailure {
    const { number, name } = resultCodes.badRequest;
    return new OperatorFailure({
        code: number,
        name,
        message: `"${url}" is not the URL of an entry.`,
        action: "Write --entry http://ADDRESS:PORT.",
    });
}

/** Creates a client of the entry that the flags or the environment variables name. */
export async function connect(io: CliIo, args: ConnectArgs): Promise<OperatorClient> {
    const url = args.entry ?? io.readEnv("AUBURNARCH_ENTRY") ?? defaultEntryUrl;
    if (!/^https?:\/\//u.test(url) || !URL.canParse(url)) {
        throw badEntry(url);
    }
    const path = args["token-file"];
    const token = path === undefined ? io.readEnv("AUBURNARCH_OPERATOR_TOKEN") : await readInput(io, path);
    return io.createClient(url, (token ?? "").trim());
}
