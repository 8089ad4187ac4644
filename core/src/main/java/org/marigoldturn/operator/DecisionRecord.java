package org.marigoldturn.operator;

/**
 * One decision about a request, shown by the command {@code explain}.
 *
 * @param requestId id of the request
 * @param atMillis wall-clock time of the decision
 * @param step filter that decided, such as {@code admit} or {@code select}
 * @param detail decision and reason in one sentence, without secrets
 */
public record DecisionRecord(String requestId, long atMillis, String step, String detail) {}
