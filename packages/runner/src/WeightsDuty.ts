/** Brings samplers to the versions that trainers name, while this process holds the lease for it. */
export interface WeightsDuty {
    /** Orders nothing more and gives the lease up. */
    stop(): Promise<void>;
}
