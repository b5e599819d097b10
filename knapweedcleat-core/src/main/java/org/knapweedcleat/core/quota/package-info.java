/**
 * Enforces fleet-wide quotas of client accounts, based on spending reports exchanged between
 * instances.
 */
package org.knapweedcleat.core.quota;
