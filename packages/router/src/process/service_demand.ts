/**
 * What a daemon knows of the demand of one service whose runners are observed.
 *
 * @module
 */
import { PromptDemand } from "./prompt_demand.ts";
import { SpeedClasses } from "./speed_classes.ts";
import { TightReserve } from "./tight_reserve.ts";

/** Demand of a service, on which the pools and homes of its engines are based. */
export class ServiceDemand {
  readonly prompts = new PromptDemand();
  readonly reserve = new TightReserve();
  readonly speeds = new SpeedClasses();
}
