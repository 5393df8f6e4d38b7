/**
 * Fault of one exchange: no connection is established; the request is lost; the request arrives after the sender timed
 * out; the request arrives twice; the request is carried out but its answer is lost.
 */
export type NetworkFault = "noConnection" | "requestLost" | "requestLate" | "requestTwice" | "answerLost";
