import type { TokenSpan } from "@auburnarch/types/TokenSpan";

interface CompletionPart {
    id: string;
    kind: "text" | "chat";
    model: string;
    spans: TokenSpan[];
    /** Undefined while the stream continues. */
    finishReason: "stop" | "length" | undefined;
    stream: boolean;
    /** Sent with the finish reason. */
    completionTokens: number;
}

/**
 * Builds an OpenAI-style completions object; `system_fingerprint` names every weight version that produced the text.
 */
export function completionJson(part: CompletionPart): string {
    const text = part.spans.map(span => span.text).join("");
    const versions = [...new Set(part.spans.map(span => span.version))];
    const chat = part.kind === "chat";
    const message = { role: "assistant", content: text };
    const content = chat ? (part.stream ? { delta: message } : { message }) : { text };
    const object = chat ? (part.stream ? "chat.completion.chunk" : "chat.completion") : "text_completion";
    return JSON.stringify({
        id: part.id,
        object,
        model: part.model,
        system_fingerprint: versions.length === 0 ? undefined : `${part.model}@${versions.join(",")}`,
        choices: [{ index: 0, ...content, finish_reason: part.finishReason }],
        usage: part.finishReason === undefined ? undefined : { completion_tokens: part.completionTokens },
    });
}
