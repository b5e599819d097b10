/** The operators' command line: checks, compares and explains documents, and asks instances. */
package org.knapweedcleat.cli;
