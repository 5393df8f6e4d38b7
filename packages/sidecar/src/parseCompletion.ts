import type { PlainRequest } from "@auburnarch/types/PlainRequest";
import type { PolicyId } from "@auburnarch/types/PolicyId";
import { z } from "zod";

/** A completions request as a model engine runs it. */
interface Completion {
    kind: "text" | "chat";
    /** Undefined selects the first served policy. */
    policy: PolicyId | undefined;
    prompt: string;
    maxTokens: number;
    stream: boolean;
    seed: number;
}

const maxTokensBound = 65_536;
const common = {
    model: z.string().min(1).max(256).optional(),
    max_tokens: z.number().int().min(1).max(maxTokensBound).default(256),
    stream: z.boolean().default(false),
    seed: z.number().int().default(0),
};
const textSchema = z.object({ ...common, prompt: z.string() });
const messageSchema = z.object({ role: z.string().max(64), content: z.string() });
const chatSchema = z.object({ ...common, messages: z.array(messageSchema).min(1) });

/** Parses an OpenAI-style completions request; returns a sentence that names the fault if it is invalid. */
export function parseCompletion(request: PlainRequest): Completion | string {
    const path = request.path.split("?")[0]!;
    const isChat = path.endsWith("/v1/chat/completions");
    if (request.method !== "POST" || !(isChat || path.endsWith("/v1/completions"))) {
        return "A model service answers POST /v1/completions and POST /v1/chat/completions.";
    }
    let json: unknown;
    try {
        json = JSON.parse(Buffer.from(request.body).toString("utf8"));
    }
    catch {
        return "The body is not JSON.";
    }
    return isChat ? fromChat(json) : fromText(json);
}

function fromText(json: unknown): Completion | string {
    const parsed = textSchema.safeParse(json);
    return parsed.success
        ? { ...shared(parsed.data), kind: "text", prompt: parsed.data.prompt }
        : describeIssue(parsed.error);
}

function fromChat(json: unknown): Completion | string {
    const parsed = chatSchema.safeParse(json);
    if (!parsed.success) {
        return describeIssue(parsed.error);
    }
    const prompt = parsed.data.messages.map(message => `${message.role}: ${message.content}\n`).join("");
    return { ...shared(parsed.data), kind: "chat", prompt };
}

function shared(data: {
    model?: string | undefined;
    max_tokens: number;
    stream: boolean;
    seed: number;
}): Pick<Completion, "policy" | "maxTokens" | "stream" | "seed"> {
    return {
        policy: data.model as PolicyId | undefined,
        maxTokens: data.max_tokens,
        stream: data.stream,
        seed: data.seed,
    };
}

function describeIssue(error: z.ZodError): string {
    const issue = error.issues[0]!;
    return `${issue.path.join(".") || "body"}: ${issue.message}`;
}
