/** Brings samplers to the versions that trainers name, while this process holds the lease for it. */
export interface WeightsDuty {
    /** This process gives the orders. */
    isHeld(): boolean;
    /** Orders nothing more and gives the lease up. */
    stop(): Promise<void>;
}
