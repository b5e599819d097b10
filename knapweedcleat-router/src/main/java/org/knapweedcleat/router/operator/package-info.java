/** The HTTP interface for operators: readiness, metrics, status, audit trail and drain. */
package org.knapweedcleat.router.operator;
