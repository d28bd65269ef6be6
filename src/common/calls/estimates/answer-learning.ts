/** Updates what is learnt about the backend server, the class of the call and the service when an attempt is answered. */
import {type Instant} from '../../model/units.ts';
import {type Attempt} from '../call.ts';
import {type LoadReport} from '../types.ts';
import {lightLoadFraction} from './load-levels.ts';

/** Work time, relative to the usual one, up to which a backend server's VM counts as quiet. */
const maxQuietWorkTimeFactor = 1.2;

/** Whether neither neighbours nor its own load slow the backend server down. */
function isQuiet({workTimeFactor = 1, inFlight, queued, slots}: LoadReport): boolean {
	return workTimeFactor <= maxQuietWorkTimeFactor && inFlight + queued <= lightLoadFraction * slots;
}

/** Learns from an answer that is not a server error. */
export function learnFromAnswer(attempt: Attempt, report: LoadReport | undefined, now: Instant): void {
	const {call, server, startedAt, loadSnapshot, reportedExcess, isWarmUp} = attempt;
	server.recordAcceptance(true, now);
	const time = now - startedAt;
	if (call.class.hasWork && isWarmUp) {
		call.serviceState.recordWarmUpAnswer(time / call.serviceState.answerTimes.mean(call.class.workMean, loadSnapshot));
	} else if (call.class.hasWork) {
		call.serviceState.answerTimes.addAnswer(call.class.workMean, loadSnapshot, time);
	}

	server.onAnswer(time, call.class.answerMean, now);
	if (server.report !== undefined) {
		call.serviceState.reportConfidence.add(reportedExcess, time / Math.max(0.01, call.class.answerMean));
	}

	call.class.addAnswer(time);
	if (report !== undefined && isQuiet(report) && !isWarmUp) {
		call.class.addWork(time);
	}

	call.serviceState.classes.all.addAnswer(time);
	const {answerMean} = call.class;
	call.serviceState.limit.onAnswer({
		inFlight: call.serviceState.inFlight,
		queuedPerSlot: report === undefined ? Math.max(0, (time / Math.max(0.01, answerMean)) - 1) / 2 : report.queued / report.slots,
	}, now);
}
