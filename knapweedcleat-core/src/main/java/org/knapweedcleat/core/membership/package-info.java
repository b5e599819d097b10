/**
 * Membership of router instances: failure detection by heartbeats and the assignment of duties to
 * live instances.
 */
package org.knapweedcleat.core.membership;
