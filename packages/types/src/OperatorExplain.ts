/** Answer of `GET /operator/explain?id=…`: the decisions recorded for a sample, attempt or request, oldest first. */
export interface OperatorExplain {
    id: string;
    decisions: {
        /** Wall time. */
        atMs: number;
        /** Name of the log event. */
        event: string;
        fields: Record<string, string | number | boolean | undefined>;
    }[];
}
