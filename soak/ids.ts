/** Branded ids of the soak. */

declare const brand: unique symbol;

/** Name of a gateway. */
export type GatewayName = string & { readonly [brand]: "GatewayName" };
