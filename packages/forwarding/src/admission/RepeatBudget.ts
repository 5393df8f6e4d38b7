/** Budget of the hedges and retries at one service. */
export interface RepeatBudget {
    recordFirstSend(): void;
    recordRepeat(): void;
    mayRepeat(): boolean;
}
