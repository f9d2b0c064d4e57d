/** Reconstructs the history of one request from the logs of several hosts. */
package org.cornelcrank.cli.trace;
