/** Public face of `@coltsfootpond/node`: the entry's filters, controllers and mesh. */
export * from "./constants.ts";
export * from "./http/types.ts";
export * from "./mesh/messages.ts";
export * from "./rows.ts";
export * from "./types.ts";
export * from "./configuration/configuration_controller.ts";
export * from "./configuration/types.ts";
export * from "./failure_domains/failure_domain_controller.ts";
export * from "./membership/membership_controller.ts";
export * from "./membership/peer_facts.ts";
export * from "./ownership/ownership_controller.ts";
export * from "./ownership/preference.ts";
export * from "./state/row_watcher.ts";
export * from "./state/state_controllers.ts";
