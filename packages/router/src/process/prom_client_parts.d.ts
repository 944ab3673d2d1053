// Types for the modules of prom-client that are imported separately.
declare module "prom-client/lib/counter.js" {
  import { Counter } from "prom-client";
  export default Counter;
}
declare module "prom-client/lib/gauge.js" {
  import { Gauge } from "prom-client";
  export default Gauge;
}
declare module "prom-client/lib/histogram.js" {
  import { Histogram } from "prom-client";
  export default Histogram;
}
declare module "prom-client/lib/registry.js" {
  import { Registry } from "prom-client";
  export default Registry;
}
