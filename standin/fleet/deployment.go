package fleet

import (
	"encoding/json"
	"fmt"
	"time"
)

// Deployment describes a fleet that runs on this machine.
type Deployment struct {
	Name        string
	Region      string
	DataCentres []string
	Services    []Service
}

// Service describes a service of a deployment.
type Service struct {
	Name      string
	Instances int
	// Slots and Connections are the limits of each instance in the register.
	Slots       int
	Connections int
	// ServiceTime is the mean service time of a request.
	ServiceTime time.Duration
}

// Latvia is the deployment of the association in Riga: three data centres and 27
// VMs.
var Latvia = Deployment{
	Name:        "latvia",
	Region:      "riga",
	DataCentres: []string{"riga-1", "riga-2", "riga-3"},
	Services: []Service{
		{Name: "catalogue", Instances: 6, Slots: 3, Connections: 400, ServiceTime: 10 * time.Millisecond},
		{Name: "quotes", Instances: 12, Slots: 3, Connections: 400, ServiceTime: 10 * time.Millisecond},
		{Name: "surveys", Instances: 9, Slots: 3, Connections: 400, ServiceTime: 10 * time.Millisecond},
	},
}

// RioGrandeDoSul is the deployment of Pipa Alta: three data centres and 24 VMs.
var RioGrandeDoSul = Deployment{
	Name:        "rioGrandeDoSul",
	Region:      "rio-grande-do-sul",
	DataCentres: []string{"poa-1", "poa-2", "poa-3"},
	Services: []Service{
		{Name: "galeria", Instances: 6, Slots: 4, Connections: 400, ServiceTime: 10 * time.Millisecond},
		{Name: "pedidos", Instances: 9, Slots: 4, Connections: 400, ServiceTime: 10 * time.Millisecond},
		{Name: "agenda", Instances: 9, Slots: 4, Connections: 400, ServiceTime: 10 * time.Millisecond},
	},
}

// Deployments maps names to the predefined deployments.
var Deployments = map[string]Deployment{Latvia.Name: Latvia, RioGrandeDoSul.Name: RioGrandeDoSul}

// registerDocument renders the register with the VMs and services of the fleet.
func (f *Fleet) registerDocument() ([]byte, error) {
	type object = map[string]any
	var vms, services []object
	for _, v := range f.VMs {
		vms = append(vms, object{
			"name": v.Name, "region": f.Deployment.Region, "dataCentre": v.DataCentre, "node": v.AdvertisedAddress,
			"instances": []object{{"name": v.Name, "service": v.Service.Name, "address": v.BackendAddress}},
		})
	}
	for _, s := range f.Deployment.Services {
		services = append(services, object{"name": s.Name, "slots": s.Slots, "connections": s.Connections})
	}
	out, err := json.MarshalIndent(object{"vms": vms, "services": services}, "", "  ")
	if err != nil {
		return nil, fmt.Errorf("render register: %w", err)
	}
	return out, nil
}
