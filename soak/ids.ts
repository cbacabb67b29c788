/** Branded ids of the soak test. */

declare const brand: unique symbol;

/** Name of a gateway. */
export type GatewayName = string & { readonly [brand]: "GatewayName" };
