import { fork } from "node:child_process";
import { once } from "node:events";
import { fileURLToPath } from "node:url";
import type { RoleMessage } from "./RoleMessage.js";
import type { RoleProcess } from "./RoleProcess.js";
import type { RoleSpec } from "./RoleSpec.js";

const roleMain = fileURLToPath(new URL("./roleMain.js", import.meta.url));

/** Starts a role in a process of its own and waits until it listens. The process ends with this one. */
export async function startRole(name: string, spec: RoleSpec): Promise<RoleProcess> {
    const child = fork(roleMain, [JSON.stringify(spec)], { execArgv: [] });
    const next = async <Kind extends RoleMessage["kind"]>(
        kind: Kind,
    ): Promise<Extract<RoleMessage, { kind: Kind; }>> => {
        const [message] = await once(child, "message") as [RoleMessage];
        if (message.kind !== kind) {
            throw new Error(`${name} sent a message of kind ${message.kind} instead of ${kind}`);
        }
        return message as Extract<RoleMessage, { kind: Kind; }>;
    };
    const { address } = await next("listening");
    return {
        name,
        address,
        readUse: () => {
            const message = next("use");
            child.send("use");
            return message;
        },
        stop: async () => {
            const ended = once(child, "exit");
            child.disconnect();
            await ended;
        },
    };
}
