/** The operators' port: readiness, metrics, status, the audit trail and the planned stop. */
package org.knapweedcleat.router.operator;
