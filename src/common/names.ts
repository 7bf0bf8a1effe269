/**
 * Pattern of the names of hosts, failure domains, groups, instances, client accounts and routes: up
 * to 63 letters, digits, `.`, `_` and `-` of any script, beginning with a letter or digit.
 */
export const NAME_PATTERN = /^[\p{L}\p{N}][\p{L}\p{M}\p{N}._-]{0,62}$/u;
