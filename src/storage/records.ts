/**
 * Keys and values in the state service: one module for the keys, one for the codec of each kind of record.
 *
 * Controllers of an earlier version read and write the same records at the same time. So records must remain readable to them,
 * and fields that they do not have are lost when they rewrite a record (docs/design.md, "Old beside new"; that version is in
 * test/production). Stored names and the order of fields therefore cannot change; test/golden pins them.
 */
export * from "./keys.js";
export * from "./records/codec.js";
export * from "./records/partition.js";
export * from "./records/job.js";
export * from "./records/final.js";
export * from "./records/completion.js";
export * from "./records/gang.js";
export * from "./records/capacity.js";
export * from "./records/registry.js";
export * from "./records/quota.js";
export * from "./records/reclaims.js";
